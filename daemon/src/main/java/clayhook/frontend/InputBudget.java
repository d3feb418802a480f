package clayhook.frontend;

/**
 * Limits the input of clients that is read ahead: received, but not decoded, since its connection has earlier messages
 * to handle. Each connection has a small amount of its own; what it keeps beyond that is taken from an amount that all
 * connections share. A connection at its limit is not read, so that its client has to wait. Confined to the event loop.
 */
final class InputBudget {
    /** The bytes that each connection may keep, whatever others keep. */
    static final int OWN_BYTES = 4 * 1024;
    /** The greatest number of bytes that one connection may keep: more than a thousand usual requests. */
    static final int MAX_BYTES = 128 * 1024;

    /** The input of one connection. */
    final class Share {
        private int keptBytes;

        private Share() {}

        /** Records the number of bytes that the connection keeps now; 0 when the connection ends. */
        void update(int bytes) {
            availableBytes += sharedPart(keptBytes) - sharedPart(bytes);
            keptBytes = bytes;
        }

        /** The number of bytes that the connection kept at the last update. */
        int keptBytes() {
            return keptBytes;
        }

        /** The number of bytes that the connection may read; 0 or negative if it is at its limit. */
        int readableBytes() {
            return limitBytes() - keptBytes;
        }

        /** Whether a connection that was at its limit keeps so little that it is to be read again. */
        boolean isBelowHalf() {
            return keptBytes <= limitBytes() / 2;
        }

        private int limitBytes() {
            long sharedLimit = sharedPart(keptBytes) + Math.max(0, availableBytes);
            return (int) Math.min(MAX_BYTES, OWN_BYTES + sharedLimit);
        }
    }

    private long availableBytes;

    /** Creates a budget of that number of bytes, beside what each connection has of its own. */
    InputBudget(long sharedBytes) {
        availableBytes = sharedBytes;
    }

    /** Creates the share of a new connection. */
    Share newShare() {
        return new Share();
    }

    private static int sharedPart(int bytes) {
        return Math.max(0, bytes - OWN_BYTES);
    }
}
