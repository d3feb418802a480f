package clayhook.clustertests;

/**
 * What a link does to datagrams. Shares lie between 0 and 1, times are seconds.
 *
 * @param cut nothing comes through
 * @param loss the share that is lost
 * @param twice the share that comes twice
 * @param late the share that is held back, so that later ones overtake it
 * @param garbled the share of which some bytes are changed, or the end is missing
 * @param delay of each
 * @param rate bytes a second; 0 for any
 */
public record LinkFault(
        boolean cut, double loss, double twice, double late, double garbled, double delay, double rate) {
    public static final LinkFault NONE = new LinkFault(false, 0, 0, 0, 0, 0, 0);
    public static final LinkFault CUT = new LinkFault(true, 0, 0, 0, 0, 0, 0);
}
