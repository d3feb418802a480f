/**
 * The replicated copy: values that join, spread as news, compared by hash trees and brought up range by range. See
 * {@code docs/sharing-state.md} for the rules and for what cannot be promised.
 */
package clayhook.fleet.state;
