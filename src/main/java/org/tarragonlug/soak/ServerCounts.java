package org.tarragonlug.soak;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** What the servers of a soak have done, over all of them. */
final class ServerCounts {
    final AtomicLong runs = new AtomicLong();
    final AtomicLong refusals = new AtomicLong();

    /** Refusals because the request was meant for another server. */
    final AtomicLong misdirected = new AtomicLong();

    /** Times that a server was silent within a stream. */
    final AtomicLong silences = new AtomicLong();

    private final Map<ResumptionRefusal, AtomicLong> resumptions =
            new EnumMap<>(ResumptionRefusal.class);

    private final Map<CopyForm, AtomicLong> copies = new EnumMap<>(CopyForm.class);

    /** Copies that were sent while another request waited on the connection. */
    final AtomicLong copiesBeforeOther = new AtomicLong();

    /** Copies that were sent while the same request waited again on the connection. */
    final AtomicLong copiesBeforeSame = new AtomicLong();

    final AtomicLong starts = new AtomicLong();

    ServerCounts() {
        for (ResumptionRefusal refusal : ResumptionRefusal.values()) {
            resumptions.put(refusal, new AtomicLong());
        }
        for (CopyForm form : CopyForm.values()) {
            copies.put(form, new AtomicLong());
        }
    }

    /** Returns the number of resumptions that were refused in a way. */
    AtomicLong resumptions(ResumptionRefusal refusal) {
        return resumptions.get(refusal);
    }

    private String resumptionLine() {
        StringBuilder line = new StringBuilder();
        long sum = 0;
        for (ResumptionRefusal refusal : ResumptionRefusal.values()) {
            long count = resumptions(refusal).get();
            sum += count;
            line.append(" resumptions_").append(refusal.name().toLowerCase(Locale.ROOT));
            line.append('=').append(count);
        }
        return " server_silences=" + silences + " refused_resumptions=" + sum + line;
    }

    /** Returns the number of answers that were sent once more in a form. */
    AtomicLong copies(CopyForm form) {
        return copies.get(form);
    }

    private String copyLine() {
        StringBuilder line = new StringBuilder();
        long sum = 0;
        for (CopyForm form : CopyForm.values()) {
            long count = copies.get(form).get();
            sum += count;
            line.append(" copies_").append(form.name().toLowerCase(Locale.ROOT)).append('=');
            line.append(count);
        }
        return " copies=" + sum + line;
    }

    /** Returns all counts as one line of key=value. */
    String line() {
        return "server_runs="
                + runs
                + " server_refusals="
                + refusals
                + " server_misdirected="
                + misdirected
                + resumptionLine()
                + copyLine()
                + " copies_before_other_request="
                + copiesBeforeOther
                + " copies_before_same_request="
                + copiesBeforeSame
                + " server_starts="
                + starts;
    }
}
