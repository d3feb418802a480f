/**
 * One running router: its event loop, its start, its reload and its graceful shutdown.
 *
 * <p>{@link clayhook.serve.Server} is the entry point; {@link clayhook.serve.Router} is the event loop, and each class
 * that it calls has one job: admission, attempt results, answers, endpoint lists, sharing with peers, the summary log.
 * Decisions are made by {@code clayhook.RoutingPolicy} alone; this package only carries them out. It uses the frontend,
 * backend, discovery, sql and transport packages. Unless its Javadoc says otherwise, a class here is confined to the
 * event loop and not thread-safe.
 */
package clayhook.serve;
