package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Message;

/**
 * Message that asks a voter to grant the sender a lease to run a rollout's candidate.
 *
 * @param rolloutId the rollout, see {@link Proposal#id()}
 * @param requestedAt time at which the request was sent, in seconds on the sender's clock; interpreted only by the
 *     sender
 */
record LeaseRequest(String rolloutId, double requestedAt) implements Message {
    /** Message type on the wire. */
    static final int TYPE_NUMBER = 40;

    /** Decodes the fields in the order of {@link #write}; throws IllegalArgumentException if they are malformed. */
    static LeaseRequest read(FieldReader in) {
        return new LeaseRequest(in.readNonEmptyString(), in.readDouble());
    }

    @Override
    public int typeNumber() {
        return TYPE_NUMBER;
    }

    @Override
    public void write(FieldWriter out) {
        out.writeNullableString(rolloutId).writeDouble(requestedAt);
    }
}
