package clayhook.statements;

/** The identity that a client gave when its session started; a value that it did not give is empty. */
public record ClientIdentity(String user, String database, String application) {
    public static final ClientIdentity UNKNOWN = new ClientIdentity("", "", "");
}
