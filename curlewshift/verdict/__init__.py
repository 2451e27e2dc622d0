"""The six rules, judged from what stand-ins and viewers saw on their own sockets. It knows no front and no desk."""
