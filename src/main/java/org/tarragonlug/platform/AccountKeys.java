package org.tarragonlug.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashSet;
import java.util.Set;
import org.tarragonlug.decision.account.KeyDigest;
import org.tarragonlug.http.JsonFields;
import org.tarragonlug.objectapi.StoredObject;

/**
 * Replaces the keys of client accounts by their digests.
 *
 * <p>Keys and digests are in different fields of an account's entry, so that neither is taken for
 * the other. An entry that already has digests stays as it is. A key that is no text becomes a
 * digest that is no text either, so that decoding the configuration fails without showing the key.
 */
public final class AccountKeys {
    private static final String ACCOUNTS = "tenants";
    private static final String KEYS = "api_keys";
    private static final String DIGESTS = "api_key_digests";

    private AccountKeys() {}

    /**
     * Returns an object without keys. Other objects than configurations have none and are returned
     * as they are.
     */
    public static StoredObject withoutKeys(StoredObject object) {
        if (!object.name().kind().equals(PlatformKinds.CONFIGURATION)
                || !hasKeys(object.content())) {
            return object;
        }
        JsonNode content = object.content().deepCopy();
        content.path(ACCOUNTS).forEach(AccountKeys::replaceKeys);
        return new StoredObject(object.name(), object.position(), content);
    }

    private static boolean hasKeys(JsonNode content) {
        for (JsonNode account : content.path(ACCOUNTS)) {
            if (account.has(KEYS)) {
                return true;
            }
        }
        return false;
    }

    private static void replaceKeys(JsonNode account) {
        if (!account.has(KEYS)) {
            return;
        }
        JsonNode keys = ((ObjectNode) account).remove(KEYS);
        ArrayNode digests = ((ObjectNode) account).putArray(DIGESTS);
        if (!keys.isArray()) {
            digests.addNull();
            return;
        }
        for (JsonNode key : keys) {
            if (key.isTextual()) {
                digests.add(digest(key.textValue()).toHex());
            } else {
                digests.addNull();
            }
        }
    }

    /**
     * Decodes the digests of an account's keys, or the keys themselves.
     *
     * @param account entry of the account
     * @throws IllegalArgumentException if there is neither, or one of them is malformed; the
     *     message does not quote it
     */
    static Set<KeyDigest> digests(JsonNode account) {
        boolean hasKeys = account.has(KEYS);
        Set<KeyDigest> digests = new HashSet<>();
        for (JsonNode each : JsonFields.array(account, hasKeys ? KEYS : DIGESTS)) {
            if (!each.isTextual()) {
                throw new IllegalArgumentException(
                        "field "
                                + (hasKeys ? KEYS : DIGESTS)
                                + " must be a list of texts; correct the account");
            }
            String text = each.textValue();
            digests.add(hasKeys ? digest(text) : KeyDigest.parse(text));
        }
        return digests;
    }

    /** Returns the digest of a key. */
    static KeyDigest digest(String key) {
        try {
            MessageDigest algorithm = MessageDigest.getInstance("SHA-256");
            return new KeyDigest(algorithm.digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException impossible) {
            // Every Java platform provides SHA-256.
            throw new IllegalStateException(impossible);
        }
    }
}
