package org.tanagergap.entry.caller;

/**
 * Body of a completion request.
 *
 * @param model name of the model
 * @param prompt text of the prompt
 * @param promptBytes length of the prompt in UTF-8
 * @param maxTokens maximum number of tokens to generate
 * @param stream true if the response is a stream of events
 * @param chat true if the response has the format of chat completions
 */
record ParsedCompletion(
        String model,
        String prompt,
        long promptBytes,
        long maxTokens,
        boolean stream,
        boolean chat) {}
