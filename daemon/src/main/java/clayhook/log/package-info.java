/**
 * Rate-limited logging on top of {@code System.Logger}.
 *
 * <p>The other packages call {@link clayhook.log.Log}. {@link clayhook.log.StandardErrorLoggerFinder} writes the lines
 * unless another provider replaces it, and {@link clayhook.log.NettyLogHandler} adds the log lines of Netty. The
 * package depends on no other package of the project, and every package may use it.
 */
package clayhook.log;
