package org.tarragonlug.http;

/**
 * The header by which every answer to a call names it. A server can not guess the value, so only
 * answers to this call bear it.
 *
 * @param header name of the header in lower case
 * @param value its value in answers to the call
 */
public record AnswerName(String header, String value) {}
