/**
 * Reads the two configurations of a router: the platform's JSON file ({@link clayhook.config.RouterConfiguration}) and
 * the operator's TOML file ({@link clayhook.config.OperatorConfigurationReader}), and the load reports of nodes.
 *
 * <p>Keys keep the words of the platform's and the operator's pages; the readers map them to the names of the code.
 * Every error is a {@link clayhook.config.ConfigurationException} that names the key and, in TOML, file and line. It
 * uses {@code clayhook.discovery} for endpoint lists, and reads at the start and at a reload, never while a request
 * waits.
 */
package clayhook.config;
