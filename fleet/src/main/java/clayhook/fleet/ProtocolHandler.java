package clayhook.fleet;

import java.util.Map;
import java.util.function.Function;

/** Something that routers do together. It is told what came and what time it is, and says what to send. */
public interface ProtocolHandler {
    /** How the parts that it understands are read, by their number; a reader may throw IllegalArgumentException. */
    Map<Integer, Function<FieldReader, ? extends Message>> messageReaders();

    /** A part that a peer sent; of one packet in the order sent. Packets get lost, doubled, late and out of order. */
    void onMessage(Peer from, Message part, double now, Outbox out);

    /** Does what is due; returns when it wants the next turn, seconds since 1970. An earlier turn does no harm. */
    double tick(double now, Outbox out);
}
