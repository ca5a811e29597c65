/**
 * The pooler process: {@link frostreel.Pooler} creates the components and connects them. The other classes implement
 * its start ({@code Readiness}, {@code ServingSockets}, {@code EndpointSource}), its configuration reload
 * ({@code ConfigReloader}) and its graceful shutdown ({@code ShutdownSequence}).
 *
 * <p>Owns the readiness prerequisites, the endpoint source and the configuration in force, all confined to the event
 * loop; the public methods of {@code Pooler} are called from other threads. May depend on every package of the pooler
 * except {@code cli}; only {@code cli} depends on it.
 */
package frostreel;
