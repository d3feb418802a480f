package clayhook.fleet.state;

import clayhook.fleet.Member;
import java.util.List;

/** A pending step of an anti-entropy session; each step takes one request. */
sealed interface SyncStep {
    /** Fetches the peer's versions of the given members before root digests are compared. */
    record FetchVersions(List<Member> members) implements SyncStep {}

    /** Compares the root digests of all replicated types. */
    record CompareRoots() implements SyncStep {}

    /** Compares the digests of the children of one node of a hash tree. */
    record CompareTreeNode(EntryTable<?> table, int level, int index) implements SyncStep {}

    /** Fetches the entries that differ in a range of key hashes, both bounds included. */
    record FetchRange(EntryTable<?> table, long firstHash, long lastHash) implements SyncStep {}
}
