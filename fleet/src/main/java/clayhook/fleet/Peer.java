package clayhook.fleet;

/** Another router, and the address that its packets come from and go to. */
public record Peer(Member member, Address address) {}
