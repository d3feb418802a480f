package clayhook.discovery;

/** An answer of discovery; status 0 for what cannot be understood. */
record HttpResponse(int status, String body) {
}
