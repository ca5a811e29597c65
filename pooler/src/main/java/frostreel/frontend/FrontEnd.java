package frostreel.frontend;

import frostreel.broker.Broker;
import frostreel.net.EventLoop;
import frostreel.operation.RequestClassRegistry;
import frostreel.operation.ServingLifecycle;

/** The objects that all client connections share. */
record FrontEnd(
        EventLoop loop,
        Broker broker,
        ServingLifecycle lifecycle,
        RequestClassRegistry classes,
        StatusPages pages,
        ClientTable clients,
        ClientLimits limits,
        ClientDrainer drainer) {}
