package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Member;
import java.util.List;

/**
 * What stays fixed from the proposal of a rollout to its end.
 *
 * @param plan the stages and guards
 * @param fleetSize routers that the operator expects; the majority is taken of these if the roster has fewer
 * @param roster the voters: the members at the time of the proposal. Only these vote and grant leases, and those that
 *     depart still count in the majority
 */
record RolloutTerms(RolloutPlan plan, int fleetSize, List<Member> roster) {
    /** Routers in a roster at most. */
    static final int MAX_ROUTERS = 4096;
    /** Bytes of the encoded terms at most, enough for the longest plan and roster. */
    static final int MAX_BYTES = 1024 * 1024;

    /** Copies the roster. */
    RolloutTerms {
        roster = List.copyOf(roster);
    }

    /** The encoded form, whose hash is part of the proposal. */
    byte[] encode() {
        var out = new FieldWriter();
        plan.write(out);
        out.writeLong(fleetSize).beginList();
        roster.forEach(member -> out.beginList()
                .writeNullableString(member.name())
                .writeLong(member.incarnation())
                .endList());
        return out.endList().toByteArray();
    }

    /** Decodes the encoded form; throws IllegalArgumentException for malformed bytes and invalid plans. */
    static RolloutTerms decode(byte[] bytes) {
        var in = new FieldReader(bytes);
        var terms = new RolloutTerms(
                RolloutPlan.read(in),
                in.readIntBelow(Integer.MAX_VALUE),
                in.readLists(MAX_ROUTERS, member -> new Member(member.readNonEmptyString(), member.readLong())));
        List<RolloutProblem> problems = terms.plan.validate();
        if (!problems.isEmpty()) {
            throw new IllegalArgumentException(problems.get(0).toString());
        }
        return terms;
    }

    /** Of how many routers a majority is taken. */
    int voterCount() {
        return Math.max(roster.size(), fleetSize);
    }
}
