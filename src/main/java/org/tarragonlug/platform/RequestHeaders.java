package org.tarragonlug.platform;

import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.account.Credential;
import org.tarragonlug.decision.forwarding.ForwardRequest;
import org.tarragonlug.decision.forwarding.ForwardingCommand;
import org.tarragonlug.decision.forwarding.PromptPrefix;
import org.tarragonlug.decision.forwarding.RequestHead;
import org.tarragonlug.http.AnswerName;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.PromptPartId;

/**
 * Decodes the headers of callers' requests and builds the headers of requests to servers.
 *
 * <p>Header names are in lower case, as the HTTP server provides them.
 */
public final class RequestHeaders {
    /** Id that the caller chose for one attempt of its request. Callers may repeat ids. */
    public static final String REQUEST_ID = "tarragonlug-request-id";

    /** Time that the caller waits for the answer, in milliseconds. */
    public static final String DEADLINE = "tarragonlug-deadline-ms";

    /** The model, optionally followed by a slash and the name of an adapter. */
    public static final String MODEL = "tarragonlug-model";

    private static final String CREDENTIAL = "authorization";

    /** Scheme of a credential; its name may be written in any case. */
    private static final String CREDENTIAL_SCHEME = "Token";

    /** Tells a server the account that a request belongs to. */
    private static final String ACCOUNT = "tarragonlug-tenant";

    /** Length of the longest key in characters. */
    private static final int MAX_KEY_LENGTH = 4096;

    /** Tokens of the prompt and most tokens of the answer, separated by a comma. */
    public static final String TOKEN_COUNT = "tarragonlug-token-count";

    private static final String PROMPT_PREFIX = "tarragonlug-prompt-prefix";

    /** Id of the server that a request is meant for. */
    public static final String EXPECT_INSTANCE = "tarragonlug-expect-instance";

    private static final String URGENCY = "tarragonlug-request-urgency";
    private static final String LAST_EVENT_ID = "last-event-id";

    /** Names the slot that the server has reserved for the request. */
    public static final String RESERVATION = "tarragonlug-hold";

    /**
     * Headers that only this system may set. They are removed from callers' requests, so that a
     * caller can neither reserve capacity nor move memory in the name of the system.
     */
    private static final Set<String> RESERVED =
            Set.of(
                    DEADLINE,
                    EXPECT_INSTANCE,
                    URGENCY,
                    LAST_EVENT_ID,
                    ACCOUNT,
                    "tarragonlug-expect-version",
                    RESERVATION,
                    "tarragonlug-pin-ms",
                    "tarragonlug-kv-backup",
                    "kv-from",
                    "kv-fetch");

    /** Headers that apply to a single connection and are not forwarded. */
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "transfer-encoding",
                    "content-length",
                    "te",
                    "trailer",
                    "upgrade",
                    "expect");

    private RequestHeaders() {}

    /** Returns the request id that the caller chose; empty if there is none. */
    public static String requestId(Map<String, String> headers) {
        return headers.getOrDefault(REQUEST_ID, "");
    }

    /** Returns by what answers to a request name it: servers repeat its id. */
    public static AnswerName answerName(String requestId) {
        return new AnswerName(REQUEST_ID, requestId);
    }

    /** Returns the model that the request names, for the log; {@code none} if absent. */
    public static String model(Map<String, String> headers) {
        return headers.getOrDefault(MODEL, "none");
    }

    /** Returns the headers of an answer that refuses a request without a valid key. */
    public static Map<String, String> keyRequired() {
        return Map.of("www-authenticate", CREDENTIAL_SCHEME);
    }

    /**
     * Decodes the head of a caller's request.
     *
     * @param key identifies the request within the process
     * @param path the path without the query
     * @param headers the caller's headers
     * @param repeated names of the headers that the caller has sent more than once
     */
    public static RequestHead decodeHead(
            long key, String path, Map<String, String> headers, Set<String> repeated) {
        return new RequestHead(key, host(headers), path, credential(headers, repeated));
    }

    private static String host(Map<String, String> headers) {
        String host = headers.getOrDefault("host", "");
        int colon = host.indexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    /**
     * Decodes the credential. Of two credentials neither counts, since it is not known which one is
     * meant.
     */
    private static Credential credential(Map<String, String> headers, Set<String> repeated) {
        String value = headers.get(CREDENTIAL);
        if (value == null) {
            return Credential.ABSENT;
        }
        int schemeEnd = value.indexOf(' ');
        if (repeated.contains(CREDENTIAL) || schemeEnd < 0) {
            return Credential.MALFORMED;
        }
        boolean isKey = value.substring(0, schemeEnd).equalsIgnoreCase(CREDENTIAL_SCHEME);
        String key = value.substring(schemeEnd).strip();
        if (!isKey || key.isEmpty() || key.length() > MAX_KEY_LENGTH) {
            return Credential.MALFORMED;
        }
        return text(key)
                .map(text -> Credential.of(AccountKeys.digest(text)))
                .orElse(Credential.MALFORMED);
    }

    /**
     * Decodes the bytes of a key, which the HTTP server provides as one character each.
     *
     * @return the text; empty if the bytes are not UTF-8, or have white space or control characters
     */
    private static Optional<String> text(String bytes) {
        try {
            CharBuffer encoded = CharBuffer.wrap(bytes);
            String text =
                    StandardCharsets.UTF_8
                            .newDecoder()
                            .decode(StandardCharsets.ISO_8859_1.newEncoder().encode(encoded))
                            .toString();
            boolean odd =
                    text.codePoints()
                            .anyMatch(
                                    each ->
                                            Character.isWhitespace(each)
                                                    || Character.isSpaceChar(each)
                                                    || Character.isISOControl(each));
            return odd ? Optional.empty() : Optional.of(text);
        } catch (CharacterCodingException notText) {
            // Such a key is in no configuration, since configurations consist of text.
            return Optional.empty();
        }
    }

    /**
     * Decodes a caller's request without repeated headers. Fields that are missing or malformed
     * count as not stated.
     *
     * @param key identifies the request within the process
     * @param path the path without the query
     * @param headers the caller's headers
     * @param contentHash hash of the request's content
     */
    public static ForwardRequest decode(
            long key, String path, Map<String, String> headers, long contentHash) {
        return decode(key, path, headers, Set.of(), contentHash);
    }

    /**
     * Decodes a caller's request. Fields that are missing or malformed count as not stated.
     *
     * @param key identifies the request within the process
     * @param path the path without the query
     * @param headers the caller's headers
     * @param repeated names of the headers that the caller has sent more than once
     * @param contentHash hash of the request's content
     */
    public static ForwardRequest decode(
            long key,
            String path,
            Map<String, String> headers,
            Set<String> repeated,
            long contentHash) {
        Optional<ModelKey> model =
                Optional.ofNullable(headers.get(MODEL))
                        .filter(text -> !text.isEmpty() && text.charAt(0) != '/')
                        .map(ModelKey::parse);
        int[] tokens = tokens(headers.getOrDefault(TOKEN_COUNT, ""));
        return new ForwardRequest(
                key,
                requestId(headers),
                host(headers),
                path,
                number(headers.get(DEADLINE)).filter(each -> each > 0).map(Duration::ofMillis),
                model,
                model.map(each -> prefix(each, headers.getOrDefault(PROMPT_PREFIX, "")))
                        .orElse(PromptPrefix.NONE),
                tokens[0],
                tokens[1],
                number(headers.get(LAST_EVENT_ID)).orElse(-1L),
                contentHash,
                credential(headers, repeated));
    }

    /**
     * Decodes the part of the prompt that is shared with other requests. The header lists the parts
     * of the prompt as {@code KEY:TOKENS}, separated by commas. The last part is left out, because
     * it belongs to the request or its session.
     */
    private static PromptPrefix prefix(ModelKey model, String text) {
        String[] parts = text.split(",");
        if (parts.length < 2) {
            return PromptPrefix.NONE;
        }
        int tokens = 0;
        List<PromptPartId> ids = new ArrayList<>();
        StringBuilder key = new StringBuilder(model.toString());
        for (int index = 0; index < parts.length - 1; index++) {
            String part = parts[index].trim();
            int colon = part.indexOf(':');
            if (colon < 1) {
                return PromptPrefix.NONE;
            }
            PromptPartId id = new PromptPartId(part.substring(0, colon));
            ids.add(id);
            key.append('|').append(id);
            tokens += number(part.substring(colon + 1)).orElse(0L).intValue();
        }
        return new PromptPrefix(key.toString(), tokens, ids);
    }

    /**
     * Decodes the token counts of the prompt and of the output, which the header separates by a
     * comma. A malformed count is returned as 0.
     */
    private static int[] tokens(String text) {
        int comma = text.indexOf(',');
        if (comma < 0) {
            return new int[] {0, 0};
        }
        return new int[] {
            number(text.substring(0, comma)).orElse(0L).intValue(),
            number(text.substring(comma + 1)).orElse(0L).intValue()
        };
    }

    private static Optional<Long> number(String text) {
        if (text == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(Long.parseLong(text.trim()));
        } catch (NumberFormatException notNumeric) {
            // A malformed number is ignored, and the request is served without it.
            return Optional.empty();
        }
    }

    /**
     * Returns the headers of a request to a server.
     *
     * @param headers the caller's headers
     * @param send the target server and the limits of the attempt
     */
    public static Map<String, String> forServer(
            Map<String, String> headers, ForwardingCommand.Send send) {
        Map<String, String> result = endToEnd(headers);
        result.keySet().removeAll(RESERVED);
        if (send.credentialRemoved()) {
            result.remove(CREDENTIAL);
        }
        send.account().ifPresent(account -> result.put(ACCOUNT, account.value()));
        result.put(DEADLINE, Long.toString(Math.max(1, send.remaining().toMillis())));
        result.put(EXPECT_INSTANCE, send.server().value());
        if (headers.containsKey(MODEL)) {
            result.put(URGENCY, Integer.toString(send.urgency()));
        }
        send.reservation().ifPresent(slot -> result.put(RESERVATION, slot.value()));
        if (send.lastEventId() >= 0) {
            result.put(LAST_EVENT_ID, Long.toString(send.lastEventId()));
        }
        return result;
    }

    /** Returns a copy of the headers without those that apply to a single connection. */
    public static Map<String, String> endToEnd(Map<String, String> headers) {
        Set<String> dropped = new HashSet<>(HOP_BY_HOP);
        for (String name : headers.getOrDefault("connection", "").split(",")) {
            dropped.add(name.trim().toLowerCase(Locale.ROOT));
        }
        Map<String, String> result = new HashMap<>();
        headers.forEach(
                (name, value) -> {
                    if (!dropped.contains(name)) {
                        result.put(name, value);
                    }
                });
        return result;
    }
}
