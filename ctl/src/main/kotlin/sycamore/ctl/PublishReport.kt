package sycamore.ctl

/** Tells an operator what became of a publish. */
internal class PublishReport(
    private val terminal: Terminal,
) {
    /** Shows [published], whose id is [publishId]. */
    fun show(
        published: Published,
        publishId: String,
    ): Exit =
        when (published) {
            is Published.Accepted -> done("accepted: generation ${published.generation}")
            is Published.Unchanged -> done("unchanged: generation ${published.generation} says the same")
            is Published.Preview -> preview(published)
            is Published.Unconfirmed -> unconfirmed(published)
            is Published.Conflicting -> conflicting(published)
            is Published.Wrong -> terminal.sayFindings(published.findings).let { Exit.FAILED }
            is Published.NotAccepted -> failed("not accepted: ${published.reason}")
            is Published.NotKnown -> notKnown(published, publishId)
        }

    private fun done(line: String): Exit {
        terminal.say(line)
        return Exit.DONE
    }

    private fun failed(line: String): Exit {
        terminal.note(line)
        return Exit.FAILED
    }

    private fun preview(preview: Published.Preview): Exit {
        preview.changes.forEach(terminal::say)
        preview.dangers.forEach { terminal.say("needs --confirm $it") }
        return done("dry run: ${preview.changes.size} values would change")
    }

    private fun unconfirmed(refused: Published.Unconfirmed): Exit {
        refused.changes.forEach(terminal::say)
        refused.dangers.forEach { terminal.note("refused without --confirm $it") }
        return failed("not accepted: ${refused.dangers.size} dangerous changes are not confirmed")
    }

    private fun conflicting(conflict: Published.Conflicting): Exit {
        val labels = conflict.labels.joinToString()
        return failed("not accepted: ${conflict.by} changed $labels in generation ${conflict.generation} meanwhile")
    }

    private fun notKnown(
        published: Published.NotKnown,
        publishId: String,
    ): Exit = failed("not known yet: ${published.reason}; ask again with: sycamorectl show --publish $publishId")
}
