package clayhook.statements;

/** Who sends a statement, as it told at its start; empty where it told nothing. */
public record ClientIdentity(String user, String database, String application) {
    public static final ClientIdentity UNKNOWN = new ClientIdentity("", "", "");
}
