package clayhook.fleet.state;

import clayhook.fleet.Member;
import java.util.List;

/** A step of an anti-entropy session that is still to be done; each takes one request. */
sealed interface SyncStep {
    /** Fetch up to which update the peer has those members' updates, before anything is compared. */
    record FetchVersions(List<Member> members) implements SyncStep {}

    /** Compare the root digests of all types. */
    record CompareRoots() implements SyncStep {}

    /** Compare the children of one node of a hash tree. */
    record CompareTreeNode(EntryTable<?> table, int level, int index) implements SyncStep {}

    /** Fetch the entries of a range of key hashes, both ends included, that differ. */
    record FetchRange(EntryTable<?> table, long firstHash, long lastHash) implements SyncStep {}
}
