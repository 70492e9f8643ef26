package org.tarragonlug.http;

/**
 * The header by which every answer to a call names it. A server can not guess the value, so only
 * answers to this call bear it, or to an earlier call that is made again under the same name. A
 * connection carries only one call of a name, so on it the name tells which call is answered.
 *
 * @param header name of the header in lower case
 * @param value its value in answers to the call
 */
public record AnswerName(String header, String value) {}
