package io.monsoonpath.app.http

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.assertTrue

/** Collects the body of a response as it arrives. */
internal class BodyReader(
    response: HttpResponse,
) : Subscriber<HttpData> {
    private val firstChunk = CountDownLatch(1)
    private val text = StringBuilder()
    private val completeBody = CompletableFuture<String>()

    init {
        response.split().body().subscribe(this)
    }

    /** Waits until the first bytes of the body have arrived; fails after ten seconds. */
    fun awaitStart() = assertTrue(firstChunk.await(10, TimeUnit.SECONDS), "no bytes of the stream arrived")

    /** Waits for the end of the body and returns all of it; throws if it does not end within 20 seconds. */
    fun await(): String = completeBody.get(20, TimeUnit.SECONDS)

    override fun onSubscribe(subscription: Subscription) = subscription.request(Long.MAX_VALUE)

    override fun onNext(data: HttpData) {
        text.append(data.toStringUtf8())
        firstChunk.countDown()
    }

    override fun onError(cause: Throwable) {
        completeBody.completeExceptionally(cause)
    }

    override fun onComplete() {
        completeBody.complete(text.toString())
    }
}
