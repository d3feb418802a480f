package clayhook.lab.sharing;

/**
 * What to run with routers that share, instead of measuring service.
 *
 * @param faults number of faults drawn for each seed of a sweep, if the file names none
 * @param settle seconds after the last fault within which all routers must agree
 * @param entries number of last-write positions that a router that was away must catch up on
 */
public record SharingPlay(What task, int faults, double settle, int entries) {
    /** A sweep over seeds with random faults; or a measurement of update latency, of traffic, or of catching up. */
    public enum What {
        SWEEP,
        NEWS,
        TRAFFIC,
        CATCH_UP
    }
}
