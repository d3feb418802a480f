package clayhook.discovery;

/**
 * An answer of discovery; status 0 for what cannot be understood.
 *
 * @param last the connection ends after it
 */
record HttpResponse(int status, String body, boolean closesConnection) {}
