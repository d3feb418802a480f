package clayhook.fleet.members;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The live members in the order in which they are probed: each once a round, in a random order that is shuffled after
 * each round. A record is in at most one such order, as the order is kept in {@link MemberRecord#listIndex}. Not
 * thread-safe.
 */
final class ProbeOrder {
    private final SplittableRandom random;
    private final List<MemberRecord> members = new ArrayList<>();
    /** Members at lower indexes were probed in this round. */
    private int probedCount;

    ProbeOrder(SplittableRandom random) {
        this.random = random;
    }

    /** Adds a member at a random place among those still to be probed in this round. */
    void add(MemberRecord member) {
        member.listIndex = members.size();
        members.add(member);
        if (probedCount < members.size()) {
            swap(member.listIndex, random.nextInt(probedCount, members.size()));
        }
    }

    /** Removes a member without excluding any other from this round. */
    void remove(MemberRecord member) {
        if (member.listIndex < probedCount) {
            swap(member.listIndex, --probedCount);
        }
        removeFrom(members, member);
    }

    /**
     * Removes a record from a list that is ordered by {@link MemberRecord#listIndex}, in constant time; the last one
     * takes its place.
     */
    static void removeFrom(List<MemberRecord> list, MemberRecord member) {
        MemberRecord last = list.remove(list.size() - 1);
        if (last != member) {
            list.set(member.listIndex, last);
            last.listIndex = member.listIndex;
        }
    }

    /** Returns the next member to probe; null when there is none. */
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

    private void swap(int one, int other) {
        MemberRecord a = members.get(one);
        MemberRecord b = members.get(other);
        members.set(one, b);
        members.set(other, a);
        b.listIndex = one;
        a.listIndex = other;
    }

    /** Returns a view of all live members. */
    List<MemberRecord> members() {
        return Collections.unmodifiableList(members);
    }

    int size() {
        return members.size();
    }
}
