package org.tanagergap.agent.attempt;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.tanagergap.agent.engine.ModelEngine;
import org.tanagergap.agent.load.BytesPerTokenEstimator;
import org.tanagergap.agent.load.PrefixTable;
import org.tanagergap.agent.message.ProtocolMessages;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.request.LengthBand;
import org.tanagergap.decisions.policy.PolicyStamp;
import org.tanagergap.decisions.ratelimit.UpstreamPause;
import org.tanagergap.decisions.scheduling.EnginePriority;
import org.tanagergap.decisions.scheduling.UpstreamScheduler;
import org.tanagergap.protocol.v1.CompletionWork;
import org.tanagergap.protocol.v1.RunRequest;

/** Creates attempts for a model engine and updates the load data from their results. */
public final class ModelAttemptFactory implements AttemptFactory, ModelAttemptListener {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final AttemptContext mContext;
    private final UpstreamScheduler mScheduler;
    private final ModelEngine mEngine;
    private final PrefixTable mPrefixes;
    private final BytesPerTokenEstimator mTokenEstimator;
    private final UpstreamPause mPause;

    public ModelAttemptFactory(
            AttemptContext context,
            UpstreamScheduler scheduler,
            ModelEngine engine,
            PrefixTable prefixes,
            BytesPerTokenEstimator tokenEstimator,
            UpstreamPause pause) {
        mContext = context;
        mScheduler = scheduler;
        mEngine = engine;
        mPrefixes = prefixes;
        mTokenEstimator = tokenEstimator;
        mPause = pause;
    }

    @Override
    public void check(RunRequest request) {
        if (!request.hasCompletion()) {
            throw ProtocolMessages.malformed("work", "a model engine needs a completion");
        }
        if (request.getCompletion().getResumeFrom() < 0) {
            throw ProtocolMessages.malformed("resume_from", "resume_from must not be negative");
        }
    }

    @Override
    public Attempt create(RunRequest request, EventSink sink, PolicyStamp policy) {
        long promptTokens = request.getCompletion().getCost().getPromptTokens();
        return new ModelAttempt(
                mContext,
                request,
                sink,
                mEngine,
                this,
                () -> predictedPrefillMillis(promptTokens),
                EnginePriority.of(policy.rankPriority(), LengthBand.of(promptTokens)));
    }

    @Override
    public void firstToken(AttemptId attempt, CompletionWork work) {
        mScheduler.prefillFinished(attempt, work.getCost().getPromptTokens());
        mPrefixes.recordPrefill(work.getPrefixHash());
    }

    @Override
    public void outputPaused(AttemptId attempt, Duration pause) {
        mScheduler.outputPaused(attempt, pause);
    }

    @Override
    public void overloaded(Duration retryAfter) {
        sLogger.atInfo().log(
                "engine is overloaded and takes requests again in %d ms", retryAfter.toMillis());
        mPause.begin(retryAfter, mContext.clock().nanoTime());
    }

    @Override
    public void finished(CompletionWork work, long promptTokens) {
        // With segments or resumed text, the engine counts tokens that are not in the prompt.
        if (work.getSegmentsCount() == 0 && work.getResumeFrom() == 0) {
            mTokenEstimator.observe(utf8Bytes(work.getPrompt()), promptTokens);
        }
    }

    private long predictedPrefillMillis(long promptTokens) {
        double rate = mScheduler.prefillTokensPerSecond();
        if (rate <= 0) {
            return 0;
        }
        double tokens = (double) mScheduler.prefillTokensQueued() + promptTokens;
        return (long) (tokens / rate * TimeUnit.SECONDS.toMillis(1));
    }

    private static long utf8Bytes(String text) {
        long bytes = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            // Each half of a surrogate pair stands for two of the four bytes.
            bytes += c < 0x80 ? 1 : c < 0x800 || Character.isSurrogate(c) ? 2 : 3;
        }
        return bytes;
    }
}
