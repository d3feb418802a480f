package clayhook.fleet.state;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Message;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.LongStream;

/**
 * A message between replicas of the shared state; these are the message types 20 to 28 of the fleet protocol. Decoders
 * throw {@link IllegalArgumentException} for missing, malformed or out-of-bounds fields, and ignore additional fields,
 * which a later release may append.
 */
sealed interface StateMessage extends Message permits DeltaBroadcast, AntiEntropyRequest, AntiEntropyResponse {
    /** Maximum number of entries in a message that a decoder accepts; a packet has room for fewer. */
    int MAX_ENTRIES = 256;
    /** Exclusive upper bound of the numbers of replicated types. */
    int REPLICATED_TYPE_LIMIT = 256;

    /** Returns an upper bound of the encoded size of the message in bytes. */
    int maxEncodedBytes();

    /** Returns the decoder of each message type by its type number. */
    static Map<Integer, Function<FieldReader, ? extends Message>> messageReaders() {
        return Map.of(
                DeltaBroadcast.TYPE_NUMBER, DeltaBroadcast::read,
                AntiEntropyResponse.VersionVectorUpdate.TYPE_NUMBER, AntiEntropyResponse.VersionVectorUpdate::read,
                AntiEntropyRequest.VersionVectorRequest.TYPE_NUMBER, AntiEntropyRequest.VersionVectorRequest::read,
                AntiEntropyRequest.RootDigestsRequest.TYPE_NUMBER, AntiEntropyRequest.RootDigestsRequest::read,
                AntiEntropyResponse.RootDigestsResponse.TYPE_NUMBER, AntiEntropyResponse.RootDigestsResponse::read,
                AntiEntropyRequest.TreeNodeRequest.TYPE_NUMBER, AntiEntropyRequest.TreeNodeRequest::read,
                AntiEntropyResponse.TreeNodeResponse.TYPE_NUMBER, AntiEntropyResponse.TreeNodeResponse::read,
                AntiEntropyRequest.RangeRequest.TYPE_NUMBER, AntiEntropyRequest.RangeRequest::read,
                AntiEntropyResponse.RangeEntries.TYPE_NUMBER, AntiEntropyResponse.RangeEntries::read);
    }

    /** Writes {@code values} as one list. */
    static void writeLongs(LongStream values, FieldWriter out) {
        out.beginList();
        values.forEach(out::writeLong);
        out.endList();
    }
}
