package org.tarragonlug.peer;

import java.util.Optional;
import org.msgpack.value.Value;
import org.tarragonlug.decision.placement.ModelDemand;
import org.tarragonlug.decision.placement.OrderAction;
import org.tarragonlug.decision.placement.OrderResult;
import org.tarragonlug.decision.watching.WatchCandidate;
import org.tarragonlug.decision.watching.WatchSource;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.OrderGroup;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/**
 * Writes and reads the messages between gateways field by field.
 *
 * <p>The format is that of {@link PeerCodec}: a map with the names of the record's fields. Gateways
 * exchange these messages several times per second, and a general mapper needs several times the
 * processor time for each message and much more at the start of a process. A test compares both.
 */
final class GatewayMessageFormat {
    private static final String FORMAT_VERSION = "formatVersion";
    private static final String QUOTA = "quota";

    private GatewayMessageFormat() {}

    /** Writes the fields of a message; returns false if it is of another kind. */
    static boolean write(PeerMessage message, MessageWriter writer) {
        if (message instanceof GatewayMessage.ModelDemandReport report) {
            writeReport(report, writer);
        } else if (message instanceof GatewayMessage.PlacementNotice notice) {
            writeNotice(notice, writer);
        } else if (message instanceof GatewayMessage.ObjectCall call) {
            writeObjectCall(call, writer);
        } else if (message instanceof GatewayMessage.ObjectCallAnswer answer) {
            writeObjectCallAnswer(answer, writer);
        } else if (message instanceof GatewayMessage.OrderCall call) {
            writeOrderCall(call, writer);
        } else if (message instanceof GatewayMessage.OrderCallAnswer answer) {
            writer.number(FORMAT_VERSION, answer.formatVersion())
                    .number("call", answer.call())
                    .text("result", answer.result());
        } else if (message instanceof GatewayMessage.QuotaCall call) {
            writer.number(FORMAT_VERSION, call.formatVersion())
                    .array(QUOTA, Optional.of(call.quota()), AllowanceFormat::write);
        } else if (message instanceof GatewayMessage.QuotaGrant answer) {
            writer.number(FORMAT_VERSION, answer.formatVersion())
                    .array(QUOTA, Optional.of(answer.quota()), AllowanceFormat::write);
        } else {
            return QuarantineMessageFormat.write(message, writer);
        }
        return true;
    }

    /**
     * Reads a message; empty if the kind is another one.
     *
     * @throws IllegalArgumentException or {@link ArithmeticException} if a field is missing or has
     *     another type
     */
    static Optional<PeerMessage> read(String kind, Value frame) {
        return switch (kind) {
            case "ModelDemandReport" -> Optional.of(readReport(new MessageFields(frame)));
            case "PlacementNotice" -> Optional.of(readNotice(new MessageFields(frame)));
            case "ObjectCall" -> Optional.of(readObjectCall(new MessageFields(frame)));
            case "ObjectCallAnswer" -> Optional.of(readObjectCallAnswer(new MessageFields(frame)));
            case "OrderCall" -> Optional.of(readOrderCall(new MessageFields(frame)));
            case "OrderCallAnswer" -> Optional.of(readOrderCallAnswer(new MessageFields(frame)));
            case "QuotaCall" -> Optional.of(readQuotaCall(new MessageFields(frame)));
            case "QuotaGrant" -> Optional.of(readQuotaGrant(new MessageFields(frame)));
            default -> QuarantineMessageFormat.read(kind, new MessageFields(frame));
        };
    }

    private static void writeReport(GatewayMessage.ModelDemandReport report, MessageWriter writer) {
        writer.number(FORMAT_VERSION, report.formatVersion())
                .list("demands", report.demands(), GatewayMessageFormat::writeDemand)
                .counts("inFlight", report.inFlight())
                .texts("unreachable", report.unreachable())
                .counts("answerPaces", report.answerPaces())
                .counts("statedPaces", report.statedPaces())
                .optional("candidate", report.candidate(), GatewayMessageFormat::writeCandidate)
                .array(QUOTA, report.quota(), AllowanceFormat::write);
    }

    private static PeerMessage readReport(MessageFields fields) {
        return new GatewayMessage.ModelDemandReport(
                fields.smallNumber(FORMAT_VERSION),
                fields.list("demands", GatewayMessageFormat::readDemand),
                fields.counts("inFlight", ServerId::new),
                fields.texts("unreachable", ServerId::new),
                fields.counts("answerPaces", ServerId::new),
                fields.counts("statedPaces", ServerId::new),
                fields.optional("candidate", GatewayMessageFormat::readCandidate),
                fields.value(QUOTA).map(AllowanceFormat::readRequest));
    }

    private static void writeDemand(MessageWriter writer, ModelDemand demand) {
        writer.text("service", demand.service())
                .text("key", demand.key())
                .number("arrivals", demand.arrivals())
                .number("waiting", demand.waiting())
                .number("priority", demand.priority())
                .duration("target", demand.target())
                .duration("patience", demand.patience());
    }

    private static ModelDemand readDemand(MessageFields fields) {
        return new ModelDemand(
                new ServiceName(fields.text("service")),
                ModelKey.parse(fields.text("key")),
                fields.smallNumber("arrivals"),
                fields.smallNumber("waiting"),
                fields.smallNumber("priority"),
                fields.duration("target"),
                fields.duration("patience"));
    }

    private static void writeCandidate(MessageWriter writer, WatchCandidate candidate) {
        writer.text("failureDomain", candidate.failureDomain())
                .text("address", candidate.address())
                .decimal("capacity", candidate.capacity());
    }

    private static WatchCandidate readCandidate(MessageFields fields) {
        return new WatchCandidate(
                new FailureDomain(fields.text("failureDomain")),
                fields.text("address"),
                fields.decimal("capacity"));
    }

    private static void writeNotice(GatewayMessage.PlacementNotice notice, MessageWriter writer) {
        writer.number(FORMAT_VERSION, notice.formatVersion())
                .list("leases", notice.leases(), GatewayMessageFormat::writeLease)
                .flag("planning", notice.planning())
                .number("reporters", notice.reporters())
                .list("replicas", notice.replicas(), GatewayMessageFormat::writeReplica)
                .list("expectations", notice.expectations(), GatewayMessageFormat::writeEstimate)
                .counts("inFlight", notice.inFlight())
                .texts("suspected", notice.suspected())
                .counts("learntPaces", notice.learntPaces())
                .counts("statedPaces", notice.statedPaces())
                .list("watchSources", notice.watchSources(), GatewayMessageFormat::writeSource)
                .array(QUOTA, notice.quota(), AllowanceFormat::write);
    }

    private static PeerMessage readNotice(MessageFields fields) {
        return new GatewayMessage.PlacementNotice(
                fields.smallNumber(FORMAT_VERSION),
                fields.list("leases", GatewayMessageFormat::readLease),
                fields.flag("planning"),
                fields.smallNumberOrZero("reporters"),
                fields.list("replicas", GatewayMessageFormat::readReplica),
                fields.list("expectations", GatewayMessageFormat::readEstimate),
                fields.counts("inFlight", ServerId::new),
                fields.texts("suspected", ServerId::new),
                fields.counts("learntPaces", ServerId::new),
                fields.counts("statedPaces", ServerId::new),
                fields.list("watchSources", GatewayMessageFormat::readSource),
                fields.value(QUOTA).map(AllowanceFormat::readNotice));
    }

    private static PeerMessage readQuotaCall(MessageFields fields) {
        return new GatewayMessage.QuotaCall(
                fields.smallNumber(FORMAT_VERSION),
                AllowanceFormat.readRequest(fields.require(QUOTA)));
    }

    private static PeerMessage readQuotaGrant(MessageFields fields) {
        return new GatewayMessage.QuotaGrant(
                fields.smallNumber(FORMAT_VERSION),
                AllowanceFormat.readNotice(fields.require(QUOTA)));
    }

    private static void writeLease(MessageWriter writer, GatewayMessage.LeaseStatus lease) {
        writer.number("group", lease.group().number())
                .flag("holding", lease.holding())
                .number("revision", lease.revision())
                .text("holder", lease.holder())
                .number("era", lease.era());
    }

    private static GatewayMessage.LeaseStatus readLease(MessageFields fields) {
        return new GatewayMessage.LeaseStatus(
                new OrderGroup(fields.smallNumber("group")),
                fields.flag("holding"),
                fields.number("revision"),
                fields.textOrEmpty("holder"),
                fields.numberOrZero("era"));
    }

    private static void writeReplica(MessageWriter writer, GatewayMessage.ReplicaChange replica) {
        writer.text("server", replica.server())
                .text("key", replica.key())
                .flag("held", replica.held());
    }

    private static GatewayMessage.ReplicaChange readReplica(MessageFields fields) {
        return new GatewayMessage.ReplicaChange(
                new ServerId(fields.text("server")),
                ModelKey.parse(fields.text("key")),
                fields.flag("held"));
    }

    private static void writeEstimate(
            MessageWriter writer, GatewayMessage.ReadinessEstimate estimate) {
        writer.text("service", estimate.service())
                .text("key", estimate.key())
                .duration("remaining", estimate.remaining());
    }

    private static GatewayMessage.ReadinessEstimate readEstimate(MessageFields fields) {
        return new GatewayMessage.ReadinessEstimate(
                new ServiceName(fields.text("service")),
                ModelKey.parse(fields.text("key")),
                fields.duration("remaining"));
    }

    private static void writeSource(MessageWriter writer, WatchSource source) {
        writer.text("instance", source.instance()).text("address", source.address());
    }

    private static WatchSource readSource(MessageFields fields) {
        return new WatchSource(new InstanceId(fields.text("instance")), fields.text("address"));
    }

    private static void writeObjectCall(GatewayMessage.ObjectCall call, MessageWriter writer) {
        writer.number(FORMAT_VERSION, call.formatVersion())
                .number("call", call.call())
                .text("operation", call.operation().name())
                .text("objectKind", call.objectKind())
                .text("objectName", call.objectName())
                .number("version", call.version())
                .duration("longestWait", call.longestWait())
                .number("era", call.era());
        call.content().ifPresent(content -> writer.text("content", content));
    }

    private static PeerMessage readObjectCall(MessageFields fields) {
        return new GatewayMessage.ObjectCall(
                fields.smallNumber(FORMAT_VERSION),
                fields.number("call"),
                fields.constant("operation", GatewayMessage.ObjectOperation.class),
                fields.text("objectKind"),
                fields.text("objectName"),
                fields.number("version"),
                fields.optionalText("content"),
                fields.duration("longestWait"),
                fields.numberOrZero("era"));
    }

    private static void writeObjectCallAnswer(
            GatewayMessage.ObjectCallAnswer answer, MessageWriter writer) {
        writer.number(FORMAT_VERSION, answer.formatVersion())
                .number("call", answer.call())
                .text("error", answer.error())
                .list("objects", answer.objects(), GatewayMessageFormat::writeObject)
                .number("revision", answer.revision())
                .flag("gap", answer.gap())
                .number("era", answer.era());
    }

    private static PeerMessage readObjectCallAnswer(MessageFields fields) {
        return new GatewayMessage.ObjectCallAnswer(
                fields.smallNumber(FORMAT_VERSION),
                fields.number("call"),
                fields.text("error"),
                fields.list("objects", GatewayMessageFormat::readObject),
                fields.number("revision"),
                fields.flag("gap"),
                fields.numberOrZero("era"));
    }

    private static void writeObject(MessageWriter writer, GatewayMessage.RelayedObject object) {
        writer.text("kind", object.kind())
                .text("name", object.name())
                .number("version", object.version())
                .text("content", object.content());
    }

    private static GatewayMessage.RelayedObject readObject(MessageFields fields) {
        return new GatewayMessage.RelayedObject(
                fields.text("kind"),
                fields.text("name"),
                fields.number("version"),
                fields.text("content"));
    }

    private static void writeOrderCall(GatewayMessage.OrderCall call, MessageWriter writer) {
        writer.number(FORMAT_VERSION, call.formatVersion())
                .number("call", call.call())
                .number("group", call.group().number())
                .text("server", call.server())
                .number("startedMillis", call.startedMillis())
                .text("address", call.address())
                .text("action", call.action().name())
                .text("key", call.key())
                .number("precondition", call.precondition());
    }

    private static PeerMessage readOrderCall(MessageFields fields) {
        return new GatewayMessage.OrderCall(
                fields.smallNumber(FORMAT_VERSION),
                fields.number("call"),
                new OrderGroup(fields.smallNumber("group")),
                new ServerId(fields.text("server")),
                fields.numberOrZero("startedMillis"),
                fields.text("address"),
                fields.constant("action", OrderAction.class),
                ModelKey.parse(fields.text("key")),
                fields.number("precondition"));
    }

    private static PeerMessage readOrderCallAnswer(MessageFields fields) {
        return new GatewayMessage.OrderCallAnswer(
                fields.smallNumber(FORMAT_VERSION),
                fields.number("call"),
                fields.constant("result", OrderResult.class));
    }
}
