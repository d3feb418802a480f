package clayhook.fleet;

/** Another router and where its packets come from and go to. */
public record Peer(Member member, Address address) {}
