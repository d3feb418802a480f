package clayhook.fleet.state;

import clayhook.fleet.Member;
import clayhook.fleet.state.StateTestNetwork.SimulatedMember;
import clayhook.fleet.state.TimestampedNumberType.TimestampedNumber;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A scenario of writes and faults on a few routers. Records all writes and checks which of them the replicas must have.
 */
final class FaultScenario {
    /**
     * One write or fault. {@code actionIndex} selects the kind of action and determines the meaning of the other
     * numbers.
     */
    record Action(int actionIndex, int memberIndex, int key, int value) {
        static final int ACTION_COUNT = 13;
    }

    private record TypedKey(TimestampedNumberType type, String key) {}

    private record RecordedWrite(TypedKey key, TimestampedNumber value, Member writer, double writtenAt) {}

    /**
     * Clock skew plus one step of the digest cut-off: replicas leave the same entry out of the digest at slightly
     * different times.
     */
    private static final double TIMING_SLACK_SECONDS = 2;

    private static final double CLOCK_PRECISION_SECONDS = 0.002;

    final StateTestNetwork network;
    private final List<TimestampedNumberType> types;
    private final List<RecordedWrite> writes = new ArrayList<>();
    /** The merge of all writes. */
    private final Map<TypedKey, TimestampedNumber> allWrites = new HashMap<>();
    /** The merge of all writes that at least one running router has. */
    private final Map<TypedKey, TimestampedNumber> guaranteedWrites = new HashMap<>();

    FaultScenario(long seed, int size, List<TimestampedNumberType> types) {
        network = new StateTestNetwork(seed, size, List.copyOf(types), StateSettings.DEFAULT).startAll();
        this.types = types;
    }

    void perform(Action action) {
        SimulatedMember member = network.members.get(action.memberIndex % network.members.size());
        switch (action.actionIndex) {
            case 0, 1, 2, 3, 4, 5, 6 -> write(member, action);
            case 7 -> member.partition ^= 1;
            case 8 -> network.members.forEach(each -> each.partition = 0);
            case 9 -> member.frozen = true;
            case 10 -> member.unfreeze();
            case 11 -> restart(member);
            default -> setLinkFaults(action.value % 4 * 0.1, action.key % 3 * 0.1, action.value % 5 * 0.01);
        }
        network.run(action.value % 7 * 0.1);
        network.members.stream().filter(each -> !each.frozen).forEach(this::checkCompleteness);
    }

    private void setLinkFaults(double lossProbability, double duplicationProbability, double jitter) {
        network.lossProbability = lossProbability;
        network.duplicationProbability = duplicationProbability;
        network.jitter = jitter;
    }

    private void write(SimulatedMember member, Action action) {
        if (member.frozen) {
            return;
        }
        var key = new TypedKey(types.get(action.value % types.size()), "key " + action.key % 15);
        var value = new TimestampedNumber(1L << action.value % 60, member.clock() - valueAge(action));
        TimestampedNumber merged = member.state.merge(key.type, key.key, value, member.clock());
        if (merged != null) {
            writes.add(new RecordedWrite(key, value, member.self.member(), network.now));
            allWrites.merge(key, value, key.type::merge);
            guaranteedWrites.merge(key, value, key.type::merge);
        }
    }

    /**
     * Returns the age of the written value in seconds: for some actions that of an expired value, or a negative one for
     * a value from the future.
     */
    private static double valueAge(Action action) {
        if (action.value % 11 == 0) {
            return 30;
        }
        return action.value % 13 == 0 ? -30 : action.value % 10 * 0.3;
    }

    /**
     * Restarts a router. Writes that only this router had are lost, which replication cannot prevent; they are no
     * longer guaranteed.
     */
    private void restart(SimulatedMember member) {
        guaranteedWrites.clear();
        network.members.stream()
                .filter(other -> other != member)
                .forEach(other -> types.forEach(type -> other.state.forEach(
                        type, (key, value) -> guaranteedWrites.merge(new TypedKey(type, key), value, type::merge))));
        member.start();
    }

    /** Checks that a replica has all writes of other live members from before its {@code completeUpTo} time. */
    private void checkCompleteness(SimulatedMember member) {
        double upTo = member.state.completeUpTo(member.clock()) + member.clockLag;
        for (RecordedWrite write : writes) {
            boolean covered = write.writtenAt < upTo - CLOCK_PRECISION_SECONDS;
            boolean byOther = !write.writer.equals(member.self.member());
            if (covered && byOther && member.isLive(write.writer)) {
                requireValue(member, write.key, write.value, "complete up to " + (network.now - upTo) + " s ago");
            }
        }
    }

    private void requireValue(SimulatedMember member, TypedKey key, TimestampedNumber value, String reason) {
        double excludedAt = value.at()
                + key.type.retentionSeconds()
                - StateSettings.DEFAULT.digestExclusionMargin()
                - TIMING_SLACK_SECONDS;
        if (excludedAt > network.now && value.at() > member.state.evictionFloor(key.type)) {
            TimestampedNumber held = member.state.get(key.type, key.key);
            if (held == null || !key.type.merge(held, value).equals(held)) {
                throw new AssertionError(
                        member.address + " lacks " + value + " of " + key + ", has " + held + ", " + reason);
            }
        }
    }

    /**
     * Ends all faults and checks that all replicas become equal and complete, with all guaranteed writes and no value
     * that was not written.
     */
    void healAndCheckConvergence() {
        setLinkFaults(0.05, 0.05, 0.01);
        network.members.forEach(member -> member.partition = 0);
        network.members.forEach(SimulatedMember::unfreeze);
        if (network.runUntil(30, network::replicasAreEqual) > 30) {
            throw new AssertionError("replicas differ after 30 s");
        }
        network.members.forEach(this::checkHeldValues);
        double seconds = network.runUntil(20, () -> network.members.stream()
                .allMatch(member -> member.state.completeUpTo(member.clock()) > network.now - 4));
        if (seconds > 20) {
            throw new AssertionError("replicas are not complete after 20 s");
        }
        network.members.forEach(this::checkCompleteness);
    }

    /** Checks that a replica has all guaranteed writes, and no value that was not written. */
    private void checkHeldValues(SimulatedMember member) {
        guaranteedWrites.forEach((key, value) -> requireValue(member, key, value, "at the end"));
        types.forEach(type -> member.state.forEach(type, (key, value) -> {
            TimestampedNumber written = allWrites.get(new TypedKey(type, key));
            if (written == null || !type.merge(value, written).equals(written)) {
                throw new AssertionError(member.address + " has " + value + " under " + key + ", written: " + written);
            }
        }));
    }
}
