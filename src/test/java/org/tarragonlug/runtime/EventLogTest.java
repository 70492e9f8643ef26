package org.tarragonlug.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

/** Guards against values that forge a pair or a line of the log, as callers choose some of them. */
class EventLogTest {
    private static final String START = "event=part_failed instance=entry-1 ";

    private static String line(Object value) {
        return new EventLog("entry-1").event(LogEvent.PART_FAILED).with("part", value).toString();
    }

    @Test
    void writesPlainValuesWithoutQuotes() {
        assertEquals(START + "part=10.0.0.1:80/a-b_c@1", line("10.0.0.1:80/a-b_c@1"));
    }

    @Test
    void quotesAndEscapesSpecialValues() {
        assertEquals(START + "part=\"\"", line(""));
        assertEquals(START + "part=null", line(null));
        assertEquals(START + "part=\"a b=c\"", line("a b=c"));
        assertEquals(START + "part=\"\\\"\\\\\"", line("\"\\"));
        assertEquals(START + "part=\"a\\nevent=x\\u000d\"", line("a\nevent=x\r"));
    }

    /** Next line, line separator, right-to-left override and delete passed unescaped. */
    @Test
    void escapesUnicodeLineBreaksAndDirectionMarks() {
        assertEquals(
                START + "part=\"\\u0085\\u2028\\u202e\\u007f\"", line("\u0085\u2028\u202e\u007f"));
        assertEquals(START + "part=\"\u00a0\"", line("\u00a0"));
    }

    @Test
    void truncatesAndMarksLongValues() {
        assertEquals(START + "part=" + "a".repeat(500) + "...", line("a".repeat(600)));
    }

    @Property
    void keepsAnyValueWithinOnePairAndOneLine(@ForAll @StringLength(max = 40) String value) {
        String line = line(value);
        assertEquals(1, line.lines().count());
        assertTrue(line.startsWith(START + "part="));
        String rest = line.substring(START.length() + "part=".length());
        assertTrue(rest.matches("[^\\s\"=\\\\]+|\"([^\"\\\\\\p{Cntrl}]|\\\\.)*\""), rest);
    }
}
