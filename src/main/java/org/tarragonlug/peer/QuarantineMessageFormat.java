package org.tarragonlug.peer;

import java.util.Optional;
import org.tarragonlug.decision.quarantine.LostRequest;
import org.tarragonlug.decision.quarantine.ServerLoss;
import org.tarragonlug.decision.quarantine.TraitAge;
import org.tarragonlug.id.RequestTrait;
import org.tarragonlug.id.ServerIncarnation;

/** Writes and reads the messages on requests that crash servers, field by field. */
final class QuarantineMessageFormat {
    private static final String FORMAT_VERSION = "formatVersion";

    private QuarantineMessageFormat() {}

    /** Writes the fields of a message; returns false if it is of another kind. */
    static boolean write(PeerMessage message, MessageWriter writer) {
        if (message instanceof GatewayMessage.ServerLossReport report) {
            writer.number(FORMAT_VERSION, report.formatVersion())
                    .list("losses", report.losses(), QuarantineMessageFormat::writeLoss);
        } else if (message instanceof GatewayMessage.AnswerReport report) {
            writer.number(FORMAT_VERSION, report.formatVersion())
                    .list("answers", report.answers(), QuarantineMessageFormat::writeAge);
        } else if (message instanceof GatewayMessage.QuarantineNotice notice) {
            writer.number(FORMAT_VERSION, notice.formatVersion())
                    .texts("quarantined", notice.quarantined())
                    .list("watched", notice.watched(), QuarantineMessageFormat::writeAge);
        } else {
            return false;
        }
        return true;
    }

    /**
     * Reads a message; empty if the kind is another one.
     *
     * @throws IllegalArgumentException or {@link ArithmeticException} if a field is missing or has
     *     another type
     */
    static Optional<PeerMessage> read(String kind, MessageFields fields) {
        return switch (kind) {
            case "ServerLossReport" ->
                    Optional.of(
                            new GatewayMessage.ServerLossReport(
                                    fields.smallNumber(FORMAT_VERSION),
                                    fields.list("losses", QuarantineMessageFormat::readLoss)));
            case "AnswerReport" ->
                    Optional.of(
                            new GatewayMessage.AnswerReport(
                                    fields.smallNumber(FORMAT_VERSION),
                                    fields.list("answers", QuarantineMessageFormat::readAge)));
            case "QuarantineNotice" ->
                    Optional.of(
                            new GatewayMessage.QuarantineNotice(
                                    fields.smallNumber(FORMAT_VERSION),
                                    fields.texts("quarantined", RequestTrait::parse),
                                    fields.list("watched", QuarantineMessageFormat::readAge)));
            default -> Optional.empty();
        };
    }

    private static void writeLoss(MessageWriter writer, ServerLoss loss) {
        writer.text("server", loss.server())
                .duration("age", loss.age())
                .list("requests", loss.requests(), QuarantineMessageFormat::writeRequest);
    }

    private static ServerLoss readLoss(MessageFields fields) {
        return new ServerLoss(
                ServerIncarnation.parse(fields.text("server")),
                fields.duration("age"),
                fields.list("requests", QuarantineMessageFormat::readRequest));
    }

    private static void writeRequest(MessageWriter writer, LostRequest request) {
        writer.text("content", request.content()).texts("parts", request.parts());
    }

    private static LostRequest readRequest(MessageFields fields) {
        return new LostRequest(
                RequestTrait.parse(fields.text("content")),
                fields.texts("parts", RequestTrait::parse));
    }

    private static void writeAge(MessageWriter writer, TraitAge age) {
        writer.text("trait", age.trait()).duration("age", age.age());
    }

    private static TraitAge readAge(MessageFields fields) {
        return new TraitAge(RequestTrait.parse(fields.text("trait")), fields.duration("age"));
    }
}
