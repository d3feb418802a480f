package clayhook.fleet;

/** Another router and the address with which this router exchanges packets with it. */
public record Peer(Member member, Address address) {}
