package org.tarragonlug.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.value.ArrayValue;
import org.msgpack.value.Value;
import org.tarragonlug.decision.quota.AllowanceNotice;
import org.tarragonlug.decision.quota.AllowanceRequest;
import org.tarragonlug.id.AccountName;

/**
 * Writes and reads requests for allowance and their answers as arrays. Elements that a newer
 * release has added at the end are ignored.
 */
final class AllowanceFormat {
    private AllowanceFormat() {}

    static void write(MessageWriter writer, AllowanceRequest request) {
        writer.element(request.number())
                .element(request.advanced())
                .element(request.waiting())
                .element(request.extra());
    }

    static AllowanceRequest readRequest(Value value) {
        List<Value> elements = elements(value, 4);
        return new AllowanceRequest(
                number(elements.get(0)),
                counts(elements.get(1)),
                counts(elements.get(2)),
                counts(elements.get(3)));
    }

    static void write(MessageWriter writer, AllowanceNotice notice) {
        writer.element(notice.number())
                .element(notice.instances())
                .element(notice.granted())
                .element(notice.waitMillis());
    }

    static AllowanceNotice readNotice(Value value) {
        List<Value> elements = elements(value, 4);
        return new AllowanceNotice(
                number(elements.get(0)),
                Math.toIntExact(number(elements.get(1))),
                counts(elements.get(2)),
                counts(elements.get(3)));
    }

    private static List<Value> elements(Value value, int least) {
        if (!value.isArrayValue()) {
            throw new IllegalArgumentException("the allowance is not an array");
        }
        ArrayValue array = value.asArrayValue();
        if (array.size() < least) {
            throw new IllegalArgumentException("the allowance has too few elements");
        }
        return array.list();
    }

    private static long number(Value value) {
        if (!value.isIntegerValue() || !value.asIntegerValue().isInLongRange()) {
            throw new IllegalArgumentException("a number of the allowance is not an integer");
        }
        return value.asIntegerValue().asLong();
    }

    private static Map<AccountName, Integer> counts(Value value) {
        if (!value.isMapValue()) {
            throw new IllegalArgumentException("amounts of the allowance are not a map");
        }
        Map<AccountName, Integer> counts = new HashMap<>();
        value.asMapValue()
                .map()
                .forEach(
                        (account, amount) ->
                                counts.put(
                                        new AccountName(account.asStringValue().asString()),
                                        Math.toIntExact(number(amount))));
        return counts;
    }
}
