package clayhook.discovery;

/**
 * An answer of the discovery service.
 *
 * @param status the HTTP status, or {@link #MALFORMED} for what is no HTTP response
 * @param body decoded as UTF-8
 * @param closesConnection whether the connection ends after it
 */
record HttpResponse(int status, String body, boolean closesConnection) {
    /** The status of an answer that cannot be decoded. */
    static final int MALFORMED = 0;
}
