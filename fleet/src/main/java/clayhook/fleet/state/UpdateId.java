package clayhook.fleet.state;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.util.ArrayList;
import java.util.List;

/**
 * The identifier of an update: the member incarnation that made it and its sequence number there.
 *
 * @param originId hash of the member incarnation, see {@link StableHash#ofMember}
 * @param sequence sequence number, starting at 1
 */
record UpdateId(long originId, long sequence) {
    /** Writes the ids as one flat list that alternates between origin id and sequence number. */
    static void writeList(List<UpdateId> ids, FieldWriter out) {
        out.beginList();
        for (UpdateId id : ids) {
            out.writeLong(id.originId).writeLong(id.sequence);
        }
        out.endList();
    }

    /** Reads a list written by {@link #writeList}; ignores a last origin id without a sequence number. */
    static List<UpdateId> readList(FieldReader in, int maxIds) {
        long[] numbers = in.readLongs(2 * maxIds);
        var ids = new ArrayList<UpdateId>(numbers.length / 2);
        for (int i = 0; i + 1 < numbers.length; i += 2) {
            ids.add(new UpdateId(numbers[i], numbers[i + 1]));
        }
        return ids;
    }
}
