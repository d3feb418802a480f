package clayhook.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/** Gathers the parts of a turn by where they go, and packs them into as few packets as hold them. */
final class Packer implements Outbox {
    private static final class Bundle {
        final List<Integer> numbers = new ArrayList<>();
        final List<byte[]> parts = new ArrayList<>();
        int room;
    }

    private final Member self;
    private final BiConsumer<Address, byte[]> wire;
    /** Emptied at the end of each turn. */
    private final Map<Address, Bundle> bundles = new LinkedHashMap<>();

    Packer(Member self, BiConsumer<Address, byte[]> wire) {
        this.self = self;
        this.wire = wire;
    }

    @Override
    public void add(Address to, Part part) {
        byte[] bytes = Packet.encode(part);
        if (bytes.length > Packet.LONGEST_PART) {
            throw new IllegalArgumentException(
                    "a part of " + bytes.length + " bytes: " + part.getClass().getSimpleName());
        }
        Bundle bundle = bundles.computeIfAbsent(to, any -> new Bundle());
        if (!bundle.parts.isEmpty() && Packet.frame(self) + bundle.room + Packet.room(bytes) > Packet.LONGEST) {
            send(to, bundle);
        }
        bundle.numbers.add(part.number());
        bundle.parts.add(bytes);
        bundle.room += Packet.room(bytes);
    }

    private void send(Address to, Bundle bundle) {
        wire.accept(to, Packet.encode(self, bundle.numbers, bundle.parts));
        bundle.numbers.clear();
        bundle.parts.clear();
        bundle.room = 0;
    }

    /** Sends what is left. */
    void flush() {
        bundles.forEach((to, bundle) -> {
            if (!bundle.parts.isEmpty()) {
                send(to, bundle);
            }
        });
        bundles.clear();
    }
}
