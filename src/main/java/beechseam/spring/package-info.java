/**
 * Middleware over {@link beechseam.library.Balancer} for Spring: it balances the HTTP calls that the host makes. The
 * package may use {@code library} and spring-web, which is an optional dependency.
 */
package beechseam.spring;
