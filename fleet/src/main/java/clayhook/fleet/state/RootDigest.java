package clayhook.fleet.state;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.util.List;

/**
 * The digest of all entries of one replicated type.
 *
 * @param replicatedType number of the replicated type
 * @param digestCutoff time in seconds since 1970; entries with a timestamp at or before it are left out of the digest,
 *     since they expire soon
 * @param evictionFloor time in seconds since 1970; entries with a timestamp at or before it were evicted
 * @param hashSum sum of the hashes of all entries in the digest
 */
record RootDigest(int replicatedType, double digestCutoff, double evictionFloor, long hashSum) {
    static void writeList(List<RootDigest> roots, FieldWriter out) {
        out.beginList();
        roots.forEach(root -> root.write(out));
        out.endList();
    }

    static List<RootDigest> readList(FieldReader in) {
        return in.readLists(StateMessage.REPLICATED_TYPE_LIMIT, RootDigest::read);
    }

    private void write(FieldWriter out) {
        out.beginList()
                .writeLong(replicatedType)
                .writeDouble(digestCutoff)
                .writeDouble(evictionFloor)
                .writeLong(hashSum)
                .endList();
    }

    private static RootDigest read(FieldReader in) {
        return new RootDigest(
                in.readIntBelow(StateMessage.REPLICATED_TYPE_LIMIT), in.readDouble(), in.readDouble(), in.readLong());
    }
}
