package org.tarragonlug.decision.forwarding;

import java.util.ArrayList;
import java.util.List;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.decision.quarantine.LostRequest;
import org.tarragonlug.id.PromptPartId;
import org.tarragonlug.id.RequestTrait;

/**
 * The traits of a request by which it is recognised if requests like it crash servers.
 *
 * <p>Callers choose the parts of their prompts, so number and length of the traits are limited. Of
 * a prompt with more parts the last ones count, since fewer requests share them.
 */
final class RequestTraits {
    private static final int MAX_PARTS = 16;
    private static final int MAX_PART_LENGTH = 32;

    private RequestTraits() {}

    static LostRequest of(ForwardRequest request, Hasher hasher) {
        List<PromptPartId> ids = request.prefix().parts();
        List<RequestTrait> parts = new ArrayList<>();
        for (PromptPartId id : ids.subList(Math.max(0, ids.size() - MAX_PARTS), ids.size())) {
            parts.add(new RequestTrait(RequestTrait.Kind.PART, limited(id.value(), hasher)));
        }
        String content = Long.toHexString(request.contentHash());
        return new LostRequest(new RequestTrait(RequestTrait.Kind.CONTENT, content), parts);
    }

    private static String limited(String part, Hasher hasher) {
        return part.length() <= MAX_PART_LENGTH
                ? part
                : "hash-" + Long.toHexString(hasher.hash(part));
    }
}
