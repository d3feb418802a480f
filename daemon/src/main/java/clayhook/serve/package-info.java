/**
 * A running router: its event loop, start, configuration reload and graceful shutdown.
 *
 * <p>{@link clayhook.serve.Server} is the entry point and {@link clayhook.serve.Router} the event loop. Each class that
 * the router calls has one responsibility: admission, attempt results, answers, endpoint lists, sharing with peers or
 * the summary log. All routing decisions are made by {@code clayhook.RoutingPolicy}; this package carries them out. It
 * uses the frontend, backend, discovery, sql and transport packages. Unless its Javadoc states otherwise, a class of
 * this package is confined to the event loop and not thread-safe.
 */
package clayhook.serve;
