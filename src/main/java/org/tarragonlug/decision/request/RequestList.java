package org.tarragonlug.decision.request;

/**
 * Doubly linked list whose links are stored in the requests themselves, so that an expired request
 * is removed from the middle in constant time. A request is in at most one list.
 */
final class RequestList {
    private PendingRequest head;
    private PendingRequest tail;
    private int size;

    int size() {
        return size;
    }

    PendingRequest last() {
        return tail;
    }

    PendingRequest first() {
        return head;
    }

    /**
     * Inserts the request in the order of arrival, in constant time if the request is the latest or
     * the earliest.
     */
    void add(PendingRequest request) {
        if (tail == null || tail.sequence < request.sequence) {
            insertAfter(tail, request);
            return;
        }
        PendingRequest before = null;
        PendingRequest after = head;
        while (after.sequence < request.sequence) {
            before = after;
            after = after.nextInList;
        }
        insertAfter(before, request);
    }

    void remove(PendingRequest request) {
        PendingRequest before = request.previousInList;
        PendingRequest after = request.nextInList;
        if (before == null) {
            head = after;
        } else {
            before.nextInList = after;
        }
        if (after == null) {
            tail = before;
        } else {
            after.previousInList = before;
        }
        request.previousInList = null;
        request.nextInList = null;
        request.list = null;
        size--;
    }

    private void insertAfter(PendingRequest before, PendingRequest request) {
        PendingRequest after = before == null ? head : before.nextInList;
        request.previousInList = before;
        request.nextInList = after;
        if (before == null) {
            head = request;
        } else {
            before.nextInList = request;
        }
        if (after == null) {
            tail = request;
        } else {
            after.previousInList = request;
        }
        request.list = this;
        size++;
    }
}
