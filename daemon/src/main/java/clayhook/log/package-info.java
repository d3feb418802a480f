/**
 * Log lines and their rate limit, on top of {@code System.Logger}.
 *
 * <p>{@link clayhook.log.Log} is what the other packages call. {@link clayhook.log.StandardErrorLoggerFinder} writes
 * the lines unless another provider takes its place, and {@link clayhook.log.NettyLogHandler} adds the lines of Netty.
 * The package uses nothing of the project and may be used by every other package.
 */
package clayhook.log;
