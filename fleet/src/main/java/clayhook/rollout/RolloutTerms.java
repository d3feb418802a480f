package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Member;
import java.util.List;

/**
 * What a rollout goes by from its beginning to its end.
 *
 * @param fleet routers that the operator counts with; the majority is of these where the roster has fewer
 * @param roster as frozen at the beginning: only these vote and grant leases, and the dead among them still count
 */
record RolloutTerms(RolloutPlan plan, int fleetSize, List<Member> roster) {
    /** Routers. */
    static final int MAX_ROUTERS = 4096;
    /** Bytes, for the longest plan and roster. */
    static final int MAX_BYTES = 1024 * 1024;

    RolloutTerms {
        roster = List.copyOf(roster);
    }

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

    /** Throws IllegalArgumentException for what cannot be. */
    static RolloutTerms decode(byte[] bytes) {
        var in = new FieldReader(bytes);
        var terms = new RolloutTerms(
                RolloutPlan.read(in),
                in.readIntBelow(Integer.MAX_VALUE),
                in.readLists(MAX_ROUTERS, member -> new Member(member.readNonEmptyString(), member.readLong())));
        List<RolloutProblem> faults = terms.plan.validate();
        if (!faults.isEmpty()) {
            throw new IllegalArgumentException(faults.get(0).toString());
        }
        return terms;
    }

    /** Of how many routers a majority is taken. */
    int voterCount() {
        return Math.max(roster.size(), fleetSize);
    }
}
