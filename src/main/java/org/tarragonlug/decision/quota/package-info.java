/**
 * Quotas of client accounts over all instances: instances borrow allowance from the planner, which
 * holds one token bucket per account (docs/design/quotas.md).
 */
package org.tarragonlug.decision.quota;
