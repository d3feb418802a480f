package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Member;
import java.util.List;

/**
 * The terms of a rollout, which stay fixed from its proposal to its end.
 *
 * @param plan the stages and guards
 * @param fleetSize number of routers that the operator expects; a majority of these is required if the roster has fewer
 * @param roster the voters: the members at the time of the proposal. Only these vote and grant leases. Voters that
 *     depart still count towards the number of which a majority is required
 */
record RolloutTerms(RolloutPlan plan, int fleetSize, List<Member> roster) {
    /** Maximum number of routers in a roster. */
    static final int MAX_ROUTERS = 4096;
    /** Maximum length of the encoded terms in bytes, enough for the longest plan and roster. */
    static final int MAX_BYTES = 1024 * 1024;

    /** Creates terms with a copy of the roster. */
    RolloutTerms {
        roster = List.copyOf(roster);
    }

    /** Encodes the terms. The hash of the bytes is part of the proposal. */
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

    /** Decodes the terms; throws IllegalArgumentException for malformed bytes and for invalid plans. */
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

    /** The number of routers of which a majority is required. */
    int voterCount() {
        return Math.max(roster.size(), fleetSize);
    }
}
