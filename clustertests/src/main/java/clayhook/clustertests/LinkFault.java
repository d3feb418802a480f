package clayhook.clustertests;

/**
 * The effects of a link on datagrams. Shares are between 0 and 1, times are in seconds.
 *
 * @param cut whether all datagrams are lost
 * @param loss share of datagrams that are lost
 * @param twice share of datagrams that are duplicated
 * @param late share of datagrams that are delayed, so that later ones overtake them
 * @param garbled share of datagrams that are corrupted: some bytes are changed, or the end is missing
 * @param delay delay of each datagram
 * @param rate bandwidth in bytes per second; 0 for unlimited
 */
public record LinkFault(
        boolean cut, double loss, double twice, double late, double garbled, double delay, double rate) {
    public static final LinkFault NONE = new LinkFault(false, 0, 0, 0, 0, 0, 0);
    public static final LinkFault CUT = new LinkFault(true, 0, 0, 0, 0, 0, 0);
}
