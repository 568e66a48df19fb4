package sycamore.forwarding

import sun.misc.Signal

/**
 * Receives SIGHUP, by which the platform announces that the settings file has changed. Without a handler, the signal
 * ends the JVM, so a daemon handles it before it loads anything else.
 */
internal object ReloadSignal {
    private var reload: (() -> Unit)? = null
    private var isPending = false

    /** Handles the signal from now on. A signal that arrives before [onReload] takes effect then. */
    fun handle() {
        Signal.handle(Signal("HUP")) { receive() }
    }

    /** Calls [action] for each signal, and at once if there was one already. */
    @Synchronized
    fun onReload(action: () -> Unit) {
        reload = action
        if (isPending) receive()
    }

    @Synchronized
    private fun receive() {
        val action = reload
        isPending = action == null
        action?.invoke()
    }
}
