package org.tarragonlug.simulation;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.tarragonlug.decision.forwarding.ForwardingCommand;
import org.tarragonlug.decision.forwarding.ForwardingEvent;
import org.tarragonlug.decision.quarantine.QuarantineCommand;
import org.tarragonlug.decision.quarantine.QuarantineEvent;
import org.tarragonlug.decision.quarantine.QuarantineManager;
import org.tarragonlug.decision.quarantine.QuarantineRole;
import org.tarragonlug.id.RequestTrait;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServerIncarnation;
import org.tarragonlug.measure.VirtualTime;

/**
 * The quarantine of one simulated instance, with its messages to the others. The first instance
 * decides for all, and the next ones would take over from it.
 */
final class SimulatedQuarantine {
    private static final double NETWORK_MILLIS = 0.7;
    private static final double CHECK_MILLIS = 2;

    /** Number of instances that receive the evidence of all. */
    private static final int DECIDERS = 8;

    private final int number;
    private final VirtualTime time;
    private final Map<ServerId, ModelServer> servers;
    private final Consumer<ForwardingEvent> forwarding;
    private final QuarantineManager manager = new QuarantineManager();
    private final Set<RequestTrait> convicted = new LinkedHashSet<>();
    private final List<SimulatedQuarantine> others = new ArrayList<>();
    private int messages;

    /**
     * Creates the quarantine of an instance.
     *
     * @param number number of the instance; 0 decides
     * @param time the simulated time
     * @param servers all servers
     * @param forwarding receives what the forwarding coordinator must know
     */
    SimulatedQuarantine(
            int number,
            VirtualTime time,
            Map<ServerId, ModelServer> servers,
            Consumer<ForwardingEvent> forwarding) {
        this.number = number;
        this.time = time;
        this.servers = servers;
        this.forwarding = forwarding;
    }

    void connect(List<SimulatedQuarantine> all) {
        all.stream().filter(each -> each != this).forEach(others::add);
    }

    void start() {
        QuarantineRole role = number == 0 ? QuarantineRole.DECIDES : QuarantineRole.FOLLOWS;
        post(new QuarantineEvent.RoleChanged(role));
    }

    /** Returns the traits that this instance has convicted, in order. */
    Set<RequestTrait> convicted() {
        return convicted;
    }

    /** Returns the number of messages that this instance has sent. */
    int messages() {
        return messages;
    }

    void tick() {
        post(new QuarantineEvent.Tick());
    }

    void onCommand(ForwardingCommand command) {
        if (command instanceof ForwardingCommand.ReportRequestLost lost) {
            post(new QuarantineEvent.RequestLost(lost.server(), lost.request()));
        } else if (command instanceof ForwardingCommand.ReportAnswerBegun begun) {
            post(new QuarantineEvent.AnswerBegun(begun.traits()));
        } else if (command instanceof ForwardingCommand.ReportServerAnswered answered
                && manager.hasNoticedLoss(answered.server())) {
            post(new QuarantineEvent.ServerAnswered(answered.server(), answered.sentAt()));
        }
    }

    private void post(QuarantineEvent event) {
        manager.handle(event, time.now()).forEach(this::execute);
    }

    private void execute(QuarantineCommand command) {
        if (command instanceof QuarantineCommand.CheckServer check) {
            check(check.server());
        } else if (command instanceof QuarantineCommand.ScheduleTick tick) {
            time.after(tick.delay(), this::tick);
        } else if (command instanceof QuarantineCommand.ReportLosses report) {
            sendToDeciders(new QuarantineEvent.LossesReported(report.losses()));
        } else if (command instanceof QuarantineCommand.ReportAnswers report) {
            others.stream()
                    .filter(each -> each.number == 0)
                    .forEach(
                            each ->
                                    send(
                                            each,
                                            new QuarantineEvent.AnswersReported(report.answers())));
        } else if (command instanceof QuarantineCommand.AnnounceDecisions decisions) {
            others.forEach(
                    each ->
                            send(
                                    each,
                                    new QuarantineEvent.DecisionsAnnounced(
                                            decisions.quarantined(), decisions.watched())));
        } else if (command instanceof QuarantineCommand.Apply apply) {
            forwarding.accept(new ForwardingEvent.QuarantineChanged(apply.quarantined()));
        } else if (command instanceof QuarantineCommand.AllowTrial trial) {
            forwarding.accept(new ForwardingEvent.TrialAllowed(trial.trait()));
        } else if (command instanceof QuarantineCommand.LogConviction conviction) {
            convicted.add(conviction.trait());
        }
    }

    private void check(ServerIncarnation run) {
        time.afterMillis(
                CHECK_MILLIS,
                () -> {
                    ModelServer server = servers.get(run.server());
                    boolean alive =
                            !server.isDown() && server.startedMillis() == run.startedMillis();
                    post(new QuarantineEvent.ServerChecked(run, alive));
                });
    }

    private void sendToDeciders(QuarantineEvent event) {
        others.stream().filter(each -> each.number < DECIDERS).forEach(each -> send(each, event));
    }

    private void send(SimulatedQuarantine to, QuarantineEvent event) {
        messages++;
        time.afterMillis(NETWORK_MILLIS, () -> to.post(event));
    }
}
