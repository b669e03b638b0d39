package org.tanagergap.endtoend;

import org.junit.jupiter.api.extension.BeforeEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.ExtensionContext.Namespace;
import org.junit.jupiter.api.extension.ParameterContext;
import org.junit.jupiter.api.extension.ParameterResolver;

/**
 * Shares one running system among the failure tests, because starting it takes most of a test's
 * time. Before each test it clears all faults and restarts programs that have ended.
 */
final class SharedSystemExtension implements ParameterResolver, BeforeEachCallback {

    /** Low, so that a prompt of twice an engine's memory takes about two seconds. */
    static final long MEMORY_TOKENS = 20_000;

    private static final long PREFILL_TOKENS_PER_SECOND = 60_000;

    @Override
    public void beforeEach(ExtensionContext context) throws Exception {
        system(context).restore();
    }

    @Override
    public boolean supportsParameter(ParameterContext parameter, ExtensionContext context) {
        return parameter.getParameter().getType() == RunningSystem.class;
    }

    @Override
    public Object resolveParameter(ParameterContext parameter, ExtensionContext context) {
        return system(context);
    }

    private static RunningSystem system(ExtensionContext context) {
        return context.getRoot()
                .getStore(Namespace.GLOBAL)
                .getOrComputeIfAbsent(
                        SharedSystemExtension.class,
                        ignored -> new SystemResource(),
                        SystemResource.class)
                .mSystem;
    }

    /** Stops the system at the end of the test run. */
    private static final class SystemResource
            implements ExtensionContext.Store.CloseableResource, AutoCloseable {

        private final RunningSystem mSystem;

        SystemResource() {
            try {
                mSystem = RunningSystem.start(MEMORY_TOKENS, PREFILL_TOKENS_PER_SECOND);
            } catch (Exception e) {
                throw new IllegalStateException("the system of the failure tests did not start", e);
            }
        }

        @Override
        public void close() throws InterruptedException {
            mSystem.close();
        }
    }
}
