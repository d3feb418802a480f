package clayhook.fleet.members;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The live members in the order in which they are probed. Each round probes every member once, in a random order that
 * is shuffled again for the next round. A record can be in only one such order, since {@link MemberRecord#listIndex}
 * holds its index. Not thread-safe.
 */
final class ProbeOrder {
    private final SplittableRandom random;
    private final List<MemberRecord> members = new ArrayList<>();
    /** Number of members probed in this round, which are those at lower indexes. */
    private int probedCount;

    ProbeOrder(SplittableRandom random) {
        this.random = random;
    }

    /** Adds a member at a random index among those not yet probed in this round. */
    void add(MemberRecord member) {
        member.listIndex = members.size();
        members.add(member);
        if (probedCount < members.size()) {
            swap(member.listIndex, random.nextInt(probedCount, members.size()));
        }
    }

    /** Removes a member. All other members are still probed in this round. */
    void remove(MemberRecord member) {
        if (member.listIndex < probedCount) {
            swap(member.listIndex, --probedCount);
        }
        removeFrom(members, member);
    }

    /**
     * Removes a record from a list in which each record is at its {@link MemberRecord#listIndex}, in constant time. The
     * last record of the list moves to the index of the removed one.
     */
    static void removeFrom(List<MemberRecord> list, MemberRecord member) {
        MemberRecord last = list.remove(list.size() - 1);
        if (last != member) {
            list.set(member.listIndex, last);
            last.listIndex = member.listIndex;
        }
    }

    /** Returns the next member to probe; null if there is none. */
    MemberRecord next() {
        if (probedCount >= members.size()) {
            shuffle();
            probedCount = 0;
        }
        return members.isEmpty() ? null : members.get(probedCount++);
    }

    private void shuffle() {
        for (int i = members.size() - 1; i > 0; i--) {
            swap(i, random.nextInt(i + 1));
        }
    }

    private void swap(int first, int second) {
        MemberRecord a = members.get(first);
        MemberRecord b = members.get(second);
        members.set(first, b);
        members.set(second, a);
        b.listIndex = first;
        a.listIndex = second;
    }

    /** Returns an unmodifiable view of all members in this order. */
    List<MemberRecord> members() {
        return Collections.unmodifiableList(members);
    }

    int size() {
        return members.size();
    }
}
