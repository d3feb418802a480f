package clayhook.discovery;

/**
 * A response of the discovery service.
 *
 * @param status the HTTP status, or {@link #MALFORMED} if the input is not a valid HTTP response
 * @param body the body decoded as UTF-8
 * @param closesConnection whether the service closes the connection after this response
 */
record HttpResponse(int status, String body, boolean closesConnection) {
    /** The status of a response that cannot be decoded. */
    static final int MALFORMED = 0;
}
