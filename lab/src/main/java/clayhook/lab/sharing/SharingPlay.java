package clayhook.lab.sharing;

/**
 * What to play with routers that share, instead of service.
 *
 * @param faults drawn for each seed of a sweep, where the file names none
 * @param settle seconds after the last fault within which all routers must agree
 * @param entries marks that a router which was away is brought up with
 */
public record SharingPlay(What what, int faults, double settle, int entries) {
    /** A sweep over seeds of faults; or the figures of news, of quiet traffic, of one who was away. */
    public enum What {
        SWEEP,
        NEWS,
        TRAFFIC,
        CATCH_UP
    }
}
